/**
 * Bills each request exactly once: writes an intent before the answer and a bill after it; a
 * sweeper bills the remaining intents of entries that died.
 */
package org.guavagw.internal.billing;
