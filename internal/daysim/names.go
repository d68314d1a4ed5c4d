package daysim

import "slices"

// SiteNamed returns the site of a name.
func SiteNamed(name string) (Site, bool) {
	return named(Sites, func(s Site) bool { return s.Name == name })
}

// DayNamed returns the day of a name.
func DayNamed(name string) (Day, bool) {
	return named(Days, func(d Day) bool { return d.Name == name })
}

// PolicyNamed returns the policy of a name.
func PolicyNamed(name string) (Policy, bool) {
	return named(Policies, func(p Policy) bool { return p.Name == name })
}

func named[T any](list []T, match func(T) bool) (found T, ok bool) {
	if i := slices.IndexFunc(list, match); i >= 0 {
		return list[i], true
	}
	return found, false
}
