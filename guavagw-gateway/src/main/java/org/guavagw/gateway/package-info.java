/**
 * The entry as a gateway to backend servers that use a protocol of their own.
 *
 * <p>An adapter implements the interfaces in {@link org.guavagw.gateway.spi}; {@link
 * org.guavagw.gateway.Gateway} uses them to run on the platform.
 */
package org.guavagw.gateway;
