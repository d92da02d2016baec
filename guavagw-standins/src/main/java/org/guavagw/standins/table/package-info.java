/** Stand-ins for the platform's table service. */
package org.guavagw.standins.table;
