package inifile

import (
	"net"
	"strconv"
)

// Address returns a key that holds IP:port.
func Address[T any](name, text string, field func(*T) *string) KeySchema[T] {
	return address(name, text, field, CheckAddress)
}

// OptionalAddress returns a key that holds IP:port or nothing.
func OptionalAddress[T any](name, text string, field func(*T) *string) KeySchema[T] {
	return address(name, text, field, func(value string) error {
		if value == "" {
			return nil
		}
		return CheckAddress(value)
	})
}

func address[T any](name, text string, field func(*T) *string, check func(string) error) KeySchema[T] {
	set := func(target *T, value string) error {
		if err := check(value); err != nil {
			return err
		}
		*field(target) = value
		return nil
	}
	get := func(target *T) string { return *field(target) }
	return Key(name, "IP:port", "", "port 0 to 65535", text, set, get)
}

// CheckAddress accepts IP:port, since processes talk by IP numbers.
func CheckAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return &net.AddrError{Err: "host is not an IP number", Addr: value}
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || strconv.FormatUint(n, 10) != port {
		return &net.AddrError{Err: "port is not a number from 0 to 65535", Addr: value}
	}
	return nil
}
