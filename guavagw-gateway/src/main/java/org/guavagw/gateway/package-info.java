/**
 * The router as a gateway in front of backend servers that speak their own protocol.
 *
 * <p>An adapter implements {@link org.guavagw.gateway.spi}, and {@link org.guavagw.gateway.Gateway}
 * runs on it.
 */
package org.guavagw.gateway;
