/** Finds the route of a request by host and path. */
package org.guavagw.gateway.internal.routing;
