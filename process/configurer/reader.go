package configurer

import (
	"errors"
	"fmt"
	"os"
	"regexp"
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
	for {
		var set Settings
		par := NewParser(&set)
		if err := readFile(par, args); err != nil {
			return set, &FaultsError{append(fas, err.Error())}
		}
		lef, err := par.ParseArgs(args)
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

// readFile takes the settings of the file that the arguments or the environment
// name as defaults.
func readFile(par *flags.Parser, args []string) error {
	var one struct {
		Config string `long:"config" env:"HEMLOCKPIN_CONFIG"`
	}
	if _, err := flags.NewParser(&one, flags.IgnoreUnknown).ParseArgs(args); err != nil {
		return fmt.Errorf("--config: %w", err)
	}
	if one.Config == "" {
		return nil
	}
	ini := flags.NewIniParser(par)
	ini.ParseAsDefaults = true
	if err := ini.ParseFile(one.Config); err != nil {
		return fmt.Errorf("--config %s: %w", one.Config, err)
	}
	return nil
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
