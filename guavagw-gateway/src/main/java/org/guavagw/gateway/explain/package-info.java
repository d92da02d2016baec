/** Explains the outcome of a request from the logs of entries. */
package org.guavagw.gateway.explain;
