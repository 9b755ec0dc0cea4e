package config

import "reflect"

// koanfName makes validation errors refer to fields by their keys in the file.
func koanfName(field reflect.StructField) string { return field.Tag.Get("koanf") }
