/** The platform's services over HTTP, in front of any implementation of their interfaces. */
package org.guavagw.standins.wire;
