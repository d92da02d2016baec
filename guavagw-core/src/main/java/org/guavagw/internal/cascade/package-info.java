/** Decides which steps of a cascade answer a request. */
package org.guavagw.internal.cascade;
