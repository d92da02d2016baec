/** Finds the route of a request. */
package org.guavagw.gateway.internal.routing;
