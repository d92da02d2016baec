/** What an adapter implements so that the gateway runs on a platform. */
package org.guavagw.gateway.spi;
