/** Admission, fair queueing and adaptive limits; free of I/O. */
package org.guavagw.internal.limits;
