/**
 * What the gateway knows about routes, teams, backend servers and orders, free of any wire format.
 */
package org.guavagw.gateway.model;
