/** Interfaces that an adapter implements to run the gateway on a platform. */
package org.guavagw.gateway.spi;
