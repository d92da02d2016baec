/** Writes structured log lines to standard output. */
package org.guavagw.gateway.internal.logging;
