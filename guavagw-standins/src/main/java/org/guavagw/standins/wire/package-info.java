/** HTTP endpoints that expose implementations of the platform's services. */
package org.guavagw.standins.wire;
