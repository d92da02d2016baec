/** Relays requests of callers to backend servers and the answers back, on one traffic thread. */
package org.guavagw.gateway.internal.relay;
