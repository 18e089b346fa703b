// Package lease keeps the right of one daemon at a time to make certain calls, as an object in the
// platform's store. The revision of the object is the fencing token of its holder.
package lease
