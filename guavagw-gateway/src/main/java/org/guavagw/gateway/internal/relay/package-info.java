/** Carries requests from callers to backend servers and answers back, on one traffic thread. */
package org.guavagw.gateway.internal.relay;
