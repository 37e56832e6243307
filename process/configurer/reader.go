package configurer

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

var flagName = regexp.MustCompile("(?:--|unknown flag `)([a-z-]+)")

// HelpError is returned if the arguments ask for help. It holds the help text.
type HelpError struct{ Text string }

// Error returns the help text.
func (err *HelpError) Error() string { return err.Text }

// NewParser returns a parser of the daemon's command line that stores the values in set.
func NewParser(set *Settings) *flags.Parser {
	par := flags.NewNamedParser("hemlockpind", flags.HelpFlag|flags.PassDoubleDash)
	par.ShortDescription = "entry host of hemlockpin"
	par.LongDescription = "Runs an entry host between callers and endpoints. Every option can also stand in the environment."
	// AddGroup cannot fail, because the struct tags of Settings are valid.
	_, _ = par.AddGroup("Settings", "", set)
	return par
}

// Read reads the settings from the arguments, the environment and the settings file, and
// validates them. It returns a FaultsError with all faults, including values that can't
// be parsed, or a HelpError. A faulty environment variable is unset.
func Read(args []string) (Settings, error) {
	var fas []string
	fileArgs, err := readFile(args)
	if err != nil {
		return Settings{}, &FaultsError{[]string{err.Error()}}
	}
	args = append(fileArgs, args...)
	for {
		var set Settings
		rest, err := NewParser(&set).ParseArgs(args)
		var fla *flags.Error
		switch {
		case err == nil:
			return set, set.validateWith(append(fas, unexpectedArguments(rest)...))
		case errors.As(err, &fla) && fla.Type == flags.ErrHelp:
			return set, &HelpError{fla.Message}
		}
		fas = append(fas, strings.ReplaceAll(err.Error(), "`", "'"))
		match := flagName.FindStringSubmatch(err.Error())
		if match == nil || !dropOption(match[1], &args) {
			return set, &FaultsError{fas}
		}
	}
}

// readFile reads the settings file that the arguments or the environment name. It
// returns the settings as arguments, without those that the arguments or the environment
// override.
func readFile(args []string) ([]string, error) {
	var location struct {
		Config string `long:"config" env:"HEMLOCKPIN_CONFIG"`
	}
	if _, err := flags.NewParser(&location, flags.IgnoreUnknown).ParseArgs(args); err != nil {
		return nil, fmt.Errorf("--config: %w", err)
	}
	if location.Config == "" {
		return nil, nil
	}
	par := NewParser(&Settings{})
	if err := flags.NewIniParser(par).ParseFile(location.Config); err != nil {
		return nil, fmt.Errorf("--config %s: %w", location.Config, err)
	}
	var out []string
	for _, opt := range options(par.Groups()) {
		if opt.IsSet() && !opt.IsSetDefault() && os.Getenv(opt.EnvDefaultKey) == "" && !sets(args, opt.LongName) {
			out = append(out, asArguments(opt)...)
		}
	}
	return out, nil
}

func options(gros []*flags.Group) []*flags.Option {
	var out []*flags.Option
	for _, gro := range gros {
		out = append(append(out, gro.Options()...), options(gro.Groups())...)
	}
	return out
}

// sets reports whether the arguments set an option.
func sets(args []string, name string) bool {
	return slices.ContainsFunc(args, func(arg string) bool { return arg == "--"+name || strings.HasPrefix(arg, "--"+name+"=") })
}

// asArguments returns the value of an option as arguments, one per element of a list.
func asArguments(opt *flags.Option) []string {
	if list, ok := opt.Value().([]string); ok {
		var out []string
		for _, value := range list {
			out = append(out, "--"+opt.LongName+"="+value)
		}
		return out
	}
	return []string{fmt.Sprintf("--%s=%v", opt.LongName, opt.Value())}
}

// validateWith validates the settings and returns a FaultsError with the given parse
// faults and those found, or nil if there are none.
func (set Settings) validateWith(fas []string) error {
	var invalid *FaultsError
	if err := set.Validate(); errors.As(err, &invalid) {
		fas = append(fas, invalid.Faults...)
	}
	if len(fas) > 0 {
		return &FaultsError{fas}
	}
	return nil
}

func unexpectedArguments(args []string) []string {
	var fas []string
	for _, arg := range args {
		fas = append(fas, fmt.Sprintf("unexpected argument %q", arg))
	}
	return fas
}

// dropOption removes a faulty option from the arguments or, if it is not there, from the
// environment, so that parsing can continue with its default. It returns false if the
// option is in neither.
func dropOption(name string, args *[]string) bool {
	var out []string
	for i := 0; i < len(*args); i++ {
		arg := (*args)[i]
		switch {
		case arg == "--"+name:
			if i+1 < len(*args) && !strings.HasPrefix((*args)[i+1], "--") {
				i++
			}
		case strings.HasPrefix(arg, "--"+name+"="):
		default:
			out = append(out, arg)
		}
	}
	if len(out) < len(*args) {
		*args = out
		return true
	}
	opt := NewParser(&Settings{}).FindOptionByLongName(name)
	if opt == nil || os.Getenv(opt.EnvDefaultKey) == "" {
		return false
	}
	return os.Unsetenv(opt.EnvDefaultKey) == nil
}
