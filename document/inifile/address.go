package inifile

import (
	"net"
	"strconv"
)

// Address returns a key whose value is IP:port.
func Address[T any](name, description string, field func(*T) *string) KeySchema[T] {
	return addressKey(name, description, field, CheckAddress)
}

// OptionalAddress returns a key whose value is IP:port or empty.
func OptionalAddress[T any](name, description string, field func(*T) *string) KeySchema[T] {
	return addressKey(name, description, field, func(value string) error {
		if value == "" {
			return nil
		}
		return CheckAddress(value)
	})
}

func addressKey[T any](name, description string, field func(*T) *string, check func(string) error) KeySchema[T] {
	set := func(target *T, value string) error {
		if err := check(value); err != nil {
			return err
		}
		*field(target) = value
		return nil
	}
	get := func(target *T) string { return *field(target) }
	return Key(name, "IP:port", "", "port 0 to 65535", description, set, get)
}

// CheckAddress returns an error unless value is IP:port. Host names are rejected, since
// processes connect by IP address.
func CheckAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return &net.AddrError{Err: "host is not an IP address", Addr: value}
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || strconv.FormatUint(n, 10) != port {
		return &net.AddrError{Err: "port is not a number from 0 to 65535", Addr: value}
	}
	return nil
}
