// Package link shares the link between regions. Each host holds a part of the link's rate, as a token bucket with strict
// priority: control, interactive, booking, file. Bytes are paced in small chunks and counted, because the link is billed
// by volume.
package link
