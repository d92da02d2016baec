/** Stand-ins for the platform and for backend servers. */
package org.guavagw.standins;
