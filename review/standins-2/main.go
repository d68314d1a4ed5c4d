// Command driver plays the cases of the second review: it starts the hosts as the deploy file does, with stand-ins of the
// store, the replicas and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit bounds the duration of a case.
const caseLimit = 110 * time.Second

// errCannotRun reports that a case could not run.
var errCannotRun = errors.New("the case could not run")

// caseFunc plays a case and reports whether the rule held.
type caseFunc func(s *Site, trouble bool) (held bool, err error)

var cases = map[string]struct {
	hosts int
	play  caseFunc
}{
	"drill":   {3, playDrill},
	"inplace": {3, playInPlace},
	"foreign": {2, playForeign},
	"upgrade": {3, playUpgrade},
	"outage":  {3, playOutage},
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file of the record")
	program := flag.String("program", "target/foxtailedge", "program of the deploy file")
	flag.Parse()
	os.Exit(runCase(*name, *record, *program))
}

func runCase(name, record, program string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Println("unknown case", name)
		return 2
	}
	s, err := NewSite(program, record, c.hosts)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer s.Close()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(caseLimit):
		}
		s.Close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	held, err := c.play(s, trouble)
	switch {
	case err != nil:
		s.log("result: %v", err)
		fmt.Println(err)
		return 2
	case held:
		s.log("result: the rule held (trouble %v)", trouble)
		fmt.Println("held")
		return 0
	}
	s.log("result: the rule was broken")
	fmt.Println("broken")
	return 1
}

// startHosts starts all hosts and waits until they are ready.
func (s *Site) startHosts() error {
	for i := range s.hosts {
		if err := s.StartHost(i); err != nil {
			return err
		}
	}
	if err := s.WaitReady(15 * time.Second); err != nil {
		return err
	}
	// A coordinator is elected, and the releases get their records.
	time.Sleep(4 * time.Second)
	return nil
}
