/** What this entry knows of the load of backend servers. */
package org.guavagw.gateway.internal.load;
