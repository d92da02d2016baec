/** Chooses the model where a route leaves the choice to the gateway. */
package org.guavagw.gateway.internal.cascade;
