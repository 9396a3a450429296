// Package limitreader reads what other processes send up to a limit. Unlike io.LimitReader, it
// reports more bytes as an error, so that an answer that is too long never looks complete.
package limitreader
