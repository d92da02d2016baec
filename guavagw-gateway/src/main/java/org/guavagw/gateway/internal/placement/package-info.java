/** Chooses the backend server for each attempt. */
package org.guavagw.gateway.internal.placement;
