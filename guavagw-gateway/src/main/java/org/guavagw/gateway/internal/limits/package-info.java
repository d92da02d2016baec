/** Bounds on what one entry may send, so that all entries together stay within theirs. */
package org.guavagw.gateway.internal.limits;
