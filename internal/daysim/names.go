package daysim

import "slices"

// SiteNamed returns the site with the given name.
func SiteNamed(name string) (Site, bool) {
	return findFirst(Sites, func(s Site) bool { return s.Name == name })
}

// DayNamed returns the day with the given name.
func DayNamed(name string) (Day, bool) {
	return findFirst(Days, func(d Day) bool { return d.Name == name })
}

// PolicyNamed returns the policy with the given name.
func PolicyNamed(name string) (Policy, bool) {
	return findFirst(Policies, func(p Policy) bool { return p.Name == name })
}

func findFirst[T any](list []T, match func(T) bool) (found T, ok bool) {
	if i := slices.IndexFunc(list, match); i >= 0 {
		return list[i], true
	}
	return found, false
}
