/** The account of memory and connections that callers hold, and who is refused when it is full. */
package org.guavagw.gateway.internal.memory;
