/** HTTP server code common to the stand-ins. */
package org.guavagw.standins.http;
