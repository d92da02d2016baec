/** Routes, teams, backend servers and orders, independent of any wire format. */
package org.guavagw.gateway.model;
