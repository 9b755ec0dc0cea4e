package config

import "reflect"

// koanfName makes validation errors name keys as the file does.
func koanfName(field reflect.StructField) string { return field.Tag.Get("koanf") }
