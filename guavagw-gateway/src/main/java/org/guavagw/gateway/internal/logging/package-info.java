/** Structured log lines on standard output. */
package org.guavagw.gateway.internal.logging;
