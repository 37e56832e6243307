package configurer

import (
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/decoder"

	"github.com/rotisserie/eris"
)

// OptionalDuration is a time of a setting that may be left empty, as the platform's template does
// where a deployment has no such bound. A number without a unit counts in milliseconds.
type OptionalDuration time.Duration

// UnmarshalFlag parses the value of a setting.
func (dur *OptionalDuration) UnmarshalFlag(value string) error {
	value = strings.TrimSpace(value)
	if value == "" {
		*dur = 0
		return nil
	}
	if ms, err := strconv.ParseFloat(value, 64); err == nil {
		value = strconv.FormatFloat(ms, 'f', -1, 64) + "ms"
	}
	parsed, err := time.ParseDuration(value)
	*dur = OptionalDuration(parsed)
	return err
}

// WholeNumber is a setting without a fraction that may be written with a point or an exponent, as
// JSON and TOML allow.
type WholeNumber int64

// UnmarshalFlag parses the value of a setting.
func (num *WholeNumber) UnmarshalFlag(value string) error {
	value = strings.TrimSpace(value)
	parsed, err := strconv.ParseInt(string(decoder.Normalize([]byte(value))), 10, 64)
	if err != nil {
		return eris.Errorf("%q is not a whole number", value)
	}
	*num = WholeNumber(parsed)
	return nil
}

// String formats the number.
func (num WholeNumber) String() string { return strconv.FormatInt(int64(num), 10) }

// String formats the time with its unit.
func (dur OptionalDuration) String() string { return time.Duration(dur).String() }

// OptionalNumber is a number of a setting that may be left empty, which stands for 0.
type OptionalNumber float64

// UnmarshalFlag parses the value of a setting.
func (num *OptionalNumber) UnmarshalFlag(value string) error {
	if strings.TrimSpace(value) == "" {
		*num = 0
		return nil
	}
	parsed, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	*num = OptionalNumber(parsed)
	return err
}
