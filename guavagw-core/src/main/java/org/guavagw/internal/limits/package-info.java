/** Admission control, fair queueing and adaptive limits; does no I/O. */
package org.guavagw.internal.limits;
