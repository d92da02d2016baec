/** What entries tell one another directly. */
package org.guavagw.gateway.internal.peers;
