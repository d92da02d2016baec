/** Chooses the backend server for each attempt by load, health and prefix cache. */
package org.guavagw.gateway.internal.placement;
