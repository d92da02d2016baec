/** Stand-ins that simulate the platform and backend servers. */
package org.guavagw.standins;
