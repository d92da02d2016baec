/** HTTP plumbing that the stand-ins share. */
package org.guavagw.standins.http;
