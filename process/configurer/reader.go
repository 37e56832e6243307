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

// flagNameInError matches the name of the faulty flag in an error text of go-flags.
var flagNameInError = regexp.MustCompile("(?:--|unknown flag `)([a-z-]+)")

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
// be parsed, or a HelpError. Read unsets an environment variable with an invalid value, so
// that it can continue and find further faults.
func Read(args []string) (Settings, error) {
	var faults []string
	fileArgs, err := readFile(args)
	if err != nil {
		return Settings{}, &FaultsError{[]string{err.Error()}}
	}
	args = append(fileArgs, args...)
	for {
		var set Settings
		rest, err := NewParser(&set).ParseArgs(args)
		var flagErr *flags.Error
		switch {
		case err == nil:
			return set, set.validateWith(append(faults, unexpectedArguments(rest)...))
		case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
			return set, &HelpError{flagErr.Message}
		}
		// go-flags quotes the names of unknown flags with a backtick and an apostrophe.
		faults = append(faults, strings.ReplaceAll(err.Error(), "`", "'"))
		match := flagNameInError.FindStringSubmatch(err.Error())
		if match == nil || !dropOption(match[1], &args) {
			return set, &FaultsError{faults}
		}
	}
}

// readFile reads the settings file that --config or HEMLOCKPIN_CONFIG gives. It returns the
// file's settings as arguments, except the settings that args or the environment also set.
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
	for _, opt := range allOptions(par.Groups()) {
		if opt.IsSet() && !opt.IsSetDefault() && os.Getenv(opt.EnvDefaultKey) == "" && !containsOption(args, opt.LongName) {
			out = append(out, asArguments(opt)...)
		}
	}
	return out, nil
}

// allOptions returns the options of the groups and their subgroups.
func allOptions(gros []*flags.Group) []*flags.Option {
	var out []*flags.Option
	for _, gro := range gros {
		out = append(append(out, gro.Options()...), allOptions(gro.Groups())...)
	}
	return out
}

// containsOption reports whether the arguments set an option.
func containsOption(args []string, name string) bool {
	return slices.ContainsFunc(args, func(arg string) bool { return arg == "--"+name || strings.HasPrefix(arg, "--"+name+"=") })
}

// asArguments returns an option as --name=value arguments, one for each element of a list.
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

// validateWith validates the settings. It returns a FaultsError with faults, which were
// found while parsing, and the faults of the validation, or nil if there are none.
func (set Settings) validateWith(faults []string) error {
	var found *FaultsError
	if err := set.Validate(); errors.As(err, &found) {
		faults = append(faults, found.Faults...)
	}
	if len(faults) > 0 {
		return &FaultsError{faults}
	}
	return nil
}

func unexpectedArguments(args []string) []string {
	var faults []string
	for _, arg := range args {
		faults = append(faults, fmt.Sprintf("unexpected argument %q", arg))
	}
	return faults
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
