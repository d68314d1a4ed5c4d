package strictjson

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"unicode"

	"github.com/go-playground/validator/v10"
)

var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(JSONName)
	err := v.RegisterValidation("ip_port", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	if err != nil {
		panic(err)
	}
	return v
}

// Validate checks the `validate` tags of a struct and returns all faults. In addition to the tags of
// go-playground/validator, it supports the tag ip_port: an IP address and a port, such as 127.0.0.1:2379.
func Validate(v any) []FieldError {
	err := structValidator.Struct(v)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		panic(fmt.Sprintf("strictjson: %v", err))
	}
	root := reflect.Indirect(reflect.ValueOf(v)).Type().Name() + "."
	faults := make([]FieldError, 0, len(invalid))
	for _, e := range invalid {
		faults = append(faults, FieldError{
			Path:    strings.TrimPrefix(e.Namespace(), root),
			Reason:  faultReason(e),
			Allowed: allowedValues(e),
		})
	}
	return faults
}

// faultReason returns the FieldError.Reason of a failed validation.
func faultReason(e validator.FieldError) string {
	if e.Tag() == "required" {
		return "is missing or empty"
	}
	if text, ok := e.Value().(string); ok {
		return fmt.Sprintf("is %q", text)
	}
	if e.Tag() == "min" && reflect.ValueOf(e.Value()).Kind() == reflect.Slice {
		return "has too few entries"
	}
	return fmt.Sprintf("is %v", e.Value())
}

// allowedValues returns the FieldError.Allowed of a failed validation.
func allowedValues(e validator.FieldError) string {
	switch e.Tag() {
	case "gt":
		return "more than " + e.Param()
	case "gte":
		return e.Param() + " or more"
	case "lte":
		return "at most " + e.Param()
	case "min":
		return "at least " + e.Param()
	case "oneof":
		return strings.ReplaceAll(e.Param(), " ", ", ")
	case "required":
		return "a value"
	case "excluded_unless":
		field, value, _ := strings.Cut(e.Param(), " ")
		return fmt.Sprintf("no value unless %s is %s", snakeCase(field), value)
	case "endswith":
		return "text that ends with " + e.Param()
	case "ip_port":
		return "IP:port, for example 127.0.0.1:2379"
	}
	return strings.TrimSuffix(e.Tag()+"="+e.Param(), "=")
}

// snakeCase returns the JSON name of a Go field whose name has no initialisms.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
