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

// HelpError carries the help text that was asked for.
type HelpError struct{ Text string }

// Error returns the help text.
func (err *HelpError) Error() string { return err.Text }

// NewParser returns the parser of the daemon's command line, which stores into set.
func NewParser(set *Settings) *flags.Parser {
	par := flags.NewNamedParser("hemlockpind", flags.HelpFlag|flags.PassDoubleDash)
	par.ShortDescription = "entry host of hemlockpin"
	par.LongDescription = "Runs an entry host between callers and endpoints. Every option can also stand in the environment."
	// The groups of an empty Settings are well formed, so this cannot fail.
	_, _ = par.AddGroup("Settings", "", set)
	return par
}

// Read reads the settings from arguments and environment and validates them.
// It returns a FaultsError with every fault, those of unreadable values too, or
// a HelpError.
func Read(args []string) (Settings, error) {
	var fas []string
	fil, err := readFile(args)
	if err != nil {
		return Settings{}, &FaultsError{[]string{err.Error()}}
	}
	args = append(fil, args...)
	for {
		var set Settings
		lef, err := NewParser(&set).ParseArgs(args)
		var fla *flags.Error
		switch {
		case err == nil:
			return set, set.faults(append(fas, unexpected(lef)...))
		case errors.As(err, &fla) && fla.Type == flags.ErrHelp:
			return set, &HelpError{fla.Message}
		}
		fas = append(fas, strings.ReplaceAll(err.Error(), "`", "'"))
		nam := flagName.FindStringSubmatch(err.Error())
		if nam == nil || !forget(nam[1], &args) {
			return set, &FaultsError{fas}
		}
	}
}

// readFile returns the settings of the file that the arguments or the environment
// name, as arguments. Those that the arguments or the environment set are left out.
func readFile(args []string) ([]string, error) {
	var one struct {
		Config string `long:"config" env:"HEMLOCKPIN_CONFIG"`
	}
	if _, err := flags.NewParser(&one, flags.IgnoreUnknown).ParseArgs(args); err != nil {
		return nil, fmt.Errorf("--config: %w", err)
	}
	if one.Config == "" {
		return nil, nil
	}
	par := NewParser(&Settings{})
	if err := flags.NewIniParser(par).ParseFile(one.Config); err != nil {
		return nil, fmt.Errorf("--config %s: %w", one.Config, err)
	}
	var out []string
	for _, opt := range options(par.Groups()) {
		if opt.IsSet() && !opt.IsSetDefault() && os.Getenv(opt.EnvDefaultKey) == "" && !names(args, opt.LongName) {
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

// names reports whether the arguments set an option.
func names(args []string, long string) bool {
	return slices.ContainsFunc(args, func(arg string) bool { return arg == "--"+long || strings.HasPrefix(arg, "--"+long+"=") })
}

// asArguments formats the value of an option.
func asArguments(opt *flags.Option) []string {
	if lis, ok := opt.Value().([]string); ok {
		var out []string
		for _, val := range lis {
			out = append(out, "--"+opt.LongName+"="+val)
		}
		return out
	}
	return []string{fmt.Sprintf("--%s=%v", opt.LongName, opt.Value())}
}

// faults joins the faults of reading with those of the values that could be read.
func (set Settings) faults(fas []string) error {
	var oth *FaultsError
	if err := set.Validate(); errors.As(err, &oth) {
		fas = append(fas, oth.Faults...)
	}
	if len(fas) > 0 {
		return &FaultsError{fas}
	}
	return nil
}

func unexpected(args []string) []string {
	var fas []string
	for _, arg := range args {
		fas = append(fas, fmt.Sprintf("unexpected argument %q", arg))
	}
	return fas
}

// forget removes a faulty option from the arguments, or else from the
// environment, so that the rest can be read. The default then stands in for it.
func forget(name string, args *[]string) bool {
	var out []string
	for ind := 0; ind < len(*args); ind++ {
		arg := (*args)[ind]
		switch {
		case arg == "--"+name:
			if ind+1 < len(*args) && !strings.HasPrefix((*args)[ind+1], "--") {
				ind++
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
