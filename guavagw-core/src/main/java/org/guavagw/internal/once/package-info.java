/** Ensures at most one execution of a call with an idempotency key over all entries. */
package org.guavagw.internal.once;
