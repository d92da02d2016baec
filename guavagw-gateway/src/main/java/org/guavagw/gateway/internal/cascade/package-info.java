/** Chooses the model for routes on which the gateway and not the caller selects it. */
package org.guavagw.gateway.internal.cascade;
