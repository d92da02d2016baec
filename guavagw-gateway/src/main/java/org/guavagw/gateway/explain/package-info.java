/** Tells from the logs of entries what became of a request and why. */
package org.guavagw.gateway.explain;
