package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	yamlnode "go.yaml.in/yaml/v3"
)

const keyDelimiter = "."

// Problem is an error in one key of a settings file.
type Problem struct {
	File string
	Line int // 0 if the key is not in the file
	Key  string
	Err  error
}

// Error returns file, line, key and cause in one line.
func (p *Problem) Error() string {
	if p.Line > 0 {
		return fmt.Sprintf("settings %s line %d: %s: %v", p.File, p.Line, p.Key, p.Err)
	}
	return fmt.Sprintf("settings %s: %s: %v", p.File, p.Key, p.Err)
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error { return p.Err }

// Load reads a settings file. Values take precedence in the order overrides (key path to
// value, from flags), file, defaults. The error joins all problems found.
func Load(file string, overrides map[string]any) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, raw, overrides)
}

// Parse is Load for the content of a file; file is used only in errors.
func Parse(file string, raw []byte, overrides map[string]any) (Settings, error) {
	settings := Default()
	err := ParseDocument(file, raw, overrides, &settings)
	settings.Store.Groups = settings.Store.deriveGroups()
	return settings, err
}

// ParseDocument parses strict YAML into target, a pointer to a struct with koanf and
// validate tags that holds the defaults. The error joins all problems found.
func ParseDocument(file string, raw []byte, overrides map[string]any, target any) error {
	k := koanf.New(keyDelimiter)
	if err := k.Load(rawbytes.Provider(raw), yaml.Parser()); err != nil {
		return fmt.Errorf("settings %s: %w", file, err)
	}
	for key, value := range overrides {
		if err := k.Set(key, value); err != nil {
			return fmt.Errorf("set %s from flag: %w", key, err)
		}
	}
	locate := newLineFinder(raw)
	if err := decode(k, target, file, locate); err != nil {
		return err
	}
	return check(target, file, locate)
}

func decode(k *koanf.Koanf, settings any, file string, locate func(string) int) error {
	var metadata mapstructure.Metadata
	err := k.UnmarshalWithConf("", settings, koanf.UnmarshalConf{
		DecoderConfig: &mapstructure.DecoderConfig{
			DecodeHook:       mapstructure.StringToTimeDurationHookFunc(),
			Metadata:         &metadata,
			Result:           settings,
			WeaklyTypedInput: false,
			TagName:          "koanf",
		},
	})
	var problems []error
	for _, key := range metadata.Unused {
		problems = append(problems, &Problem{File: file, Line: locate(key), Key: key, Err: errors.New("unknown key")})
	}
	var decodeError *mapstructure.DecodeError
	if errors.As(err, &decodeError) {
		problems = append(problems, &Problem{File: file, Line: locate(decodeError.Name()), Key: decodeError.Name(), Err: decodeError.Unwrap()})
	} else if err != nil {
		problems = append(problems, fmt.Errorf("settings %s: %w", file, err))
	}
	return errors.Join(problems...)
}

func check(settings any, file string, locate func(string) int) error {
	err := newValidator().Struct(settings)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return err
	}
	problems := make([]error, 0, len(fieldErrors))
	for _, fieldError := range fieldErrors {
		_, key, _ := strings.Cut(fieldError.Namespace(), ".")
		problems = append(problems, &Problem{File: file, Line: locate(key), Key: key, Err: validationError(fieldError)})
	}
	return errors.Join(problems...)
}

func validationError(fieldError validator.FieldError) error {
	if fieldError.Tag() == "required" {
		return errors.New("is missing")
	}
	if fieldError.Tag() == "hostport_ip" {
		return fmt.Errorf("%v is not IP:port", fieldError.Value())
	}
	rule := fieldError.Tag()
	if fieldError.Param() != "" {
		rule += "=" + fieldError.Param()
	}
	return fmt.Errorf("%v breaks the rule %s", fieldError.Value(), rule)
}

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(koanfName)
	_ = validate.RegisterValidation("hostport_ip", func(field validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(field.Field().String())
		return err == nil
	})
	return validate
}

// newLineFinder returns a function that maps a key path to its line in the YAML text, or
// to 0 if it is absent. List elements have paths such as "peers[0]".
func newLineFinder(raw []byte) func(string) int {
	lines := map[string]int{}
	var document yamlnode.Node
	if err := yamlnode.Unmarshal(raw, &document); err == nil && len(document.Content) > 0 {
		collectLines(document.Content[0], "", lines)
	}
	return func(key string) int { return lines[key] }
}

func collectLines(node *yamlnode.Node, path string, lines map[string]int) {
	switch node.Kind {
	case yamlnode.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			key := node.Content[i].Value
			if path != "" {
				key = path + keyDelimiter + key
			}
			lines[key] = node.Content[i].Line
			collectLines(node.Content[i+1], key, lines)
		}
	case yamlnode.SequenceNode:
		for i, element := range node.Content {
			key := fmt.Sprintf("%s[%d]", path, i)
			lines[key] = element.Line
			collectLines(element, key, lines)
		}
	}
}
