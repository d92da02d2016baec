/** Strict reading of HTTP/1.1 messages: what is a message, where it ends, what it is about. */
package org.guavagw.gateway.internal.framing;
