/**
 * Bills each request once: intents before the answer, bills after it, a sweeper for entries that
 * died.
 */
package org.guavagw.internal.billing;
