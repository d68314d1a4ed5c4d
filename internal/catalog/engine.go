package catalog

// AdapterReserveMB returns the memory needed when all adapter slots of a replica are used. It is kept free of weights.
func (e *Engine) AdapterReserveMB() float64 {
	largest := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(e.AdapterSlots)
}
