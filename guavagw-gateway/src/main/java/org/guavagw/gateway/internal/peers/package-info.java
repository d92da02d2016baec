/** Messages between entries, and the duties assigned among them. */
package org.guavagw.gateway.internal.peers;
