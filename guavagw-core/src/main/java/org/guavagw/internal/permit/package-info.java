/** Limits the requests that all entries together send to backend servers in cold start. */
package org.guavagw.internal.permit;
