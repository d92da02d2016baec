/** Public API of the router library. */
package org.guavagw;
